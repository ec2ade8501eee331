"""What a runner can take: the work that a call adds and the runner's current speed."""
