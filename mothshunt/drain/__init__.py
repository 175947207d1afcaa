"""Drains of targets, instances, availability zones and regions."""
