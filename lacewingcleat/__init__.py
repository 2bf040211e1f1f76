"""Load balancer for expert-parallel model groups.

The package is flat. Each module's docstring begins with its layer, and imports go only
down this list:

* transport: sockets, the reactor and the programs
* protocol: encodings of messages, headers and bodies
* coordination: deciding state machines that take the present time as an argument
* state: plain data and its checks
"""

__version__ = "0.1.0"
