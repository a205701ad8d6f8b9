"""Small stand-ins for outside systems, and the demonstration that uses them."""
