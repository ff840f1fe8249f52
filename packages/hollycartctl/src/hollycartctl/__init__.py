"""The operators' command of hollycart."""
