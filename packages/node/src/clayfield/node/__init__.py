"""The processes of pooled clayfield, and the faces they stand on.

Each process is imported from its own module, so that neither brings in what
only the other needs.
"""
