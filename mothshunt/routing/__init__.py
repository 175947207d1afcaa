"""Routes, services and limits that operators change item by item."""
