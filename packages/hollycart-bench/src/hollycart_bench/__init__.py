"""Stand-ins and the load tool used to test hollycart on one machine."""
