"""Routes, services and request limits that operators change item by item."""
