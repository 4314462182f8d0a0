"""The leader's duties, one actor each; `flaxtally.leader` wires them for a term."""
