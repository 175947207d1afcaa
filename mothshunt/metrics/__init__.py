"""Counters, gauges and latency histograms."""
