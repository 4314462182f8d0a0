"""Emulated deployments on loopback: real controllers with fakes around them, a load, and faults.

`python3 -m flaxtally emulate scale` (`command`) runs a deployment at increasing fleet sizes. `plan`
computes what a size consists of, `load` what its users submit. `coordinator` starts and ends the
processes, `child_process` is the program of the processes that run fakes, `history` checks the
rules over all starts and ends of tasks, and `results` says which resource was saturated. `emulate
lending` (`lending`) tests lending while controllers fail; `loan_audit` checks the guarantees there.
`serve` imports nothing from this package.
"""
