"""The platform table service and object store, as the product uses them."""
