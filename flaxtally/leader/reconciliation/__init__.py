"""What is proven about machines and tasks: heartbeats against the placements of the ledger.

Owns the evidence of a term: health checks of silent machines, whose fault failures are, slow
machines. Start with `reconciler`.
"""
