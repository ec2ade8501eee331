"""Decisions for pools whose callers need more than the runners can serve."""
