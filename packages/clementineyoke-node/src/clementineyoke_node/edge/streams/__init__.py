"""Which software version began a stream, and what may go on with it."""
