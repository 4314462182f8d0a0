"""What users and workers ask of a controller, and the orders that it carries.

Imports the leader; only cells and the node import it. Start with `intake`.
"""
