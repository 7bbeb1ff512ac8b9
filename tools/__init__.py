"""Scripts round the product: starting fleets and running tests."""
