"""Decision logic, shared types and platform adapters of hollycart."""
