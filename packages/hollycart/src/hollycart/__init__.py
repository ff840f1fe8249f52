"""The hollycart entry instance."""
