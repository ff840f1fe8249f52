"""Stand-ins of the platform, the engines and the consumers for the cases."""
