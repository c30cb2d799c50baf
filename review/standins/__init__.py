"""Stand-ins for clients, workers and the platform, used by the cases."""
