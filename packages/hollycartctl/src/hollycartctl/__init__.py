"""Command-line interface for the operators of hollycart."""
