"""The hollycart entry instance, which receives the callers' requests."""
