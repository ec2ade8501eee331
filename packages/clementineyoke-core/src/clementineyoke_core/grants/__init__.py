"""Rules by which a home node grants slots on its runners."""
