"""Stand-ins of the second review: deployment, workers, clients, operator.

They use the standard library only and follow the pages of the users.
"""
