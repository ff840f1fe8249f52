"""Stand-ins, load client and test runs of hollycart on one machine."""
