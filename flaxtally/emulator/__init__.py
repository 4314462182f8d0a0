"""An emulated deployment on loopback: real controllers, stand-ins around them, a load, and faults.

`python3 -m flaxtally emulate scale` (`command`) plays it at rising fleet sizes. `plan` says what a
size consists of, `load` what its users submit, `coordinator` starts and ends the processes,
`part` is what the stand-ins' processes run, `history` checks the rules over all starts and ends,
`results` says what was saturated. Nothing here is imported by `serve`.
"""
