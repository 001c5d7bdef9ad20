"""HTTP/1.1 client and server over curio sockets, based on h11.

A server runs one task per connection. A client connection carries one request
at a time and is reused only after a complete exchange.
"""

from galenahook.web.client import ClientConnection as ClientConnection
from galenahook.web.client import connect as connect
from galenahook.web.control import ControlClient as ControlClient
from galenahook.web.http import MAX_PORT as MAX_PORT
from galenahook.web.http import OUTCOME_HEADER as OUTCOME_HEADER
from galenahook.web.http import Headers as Headers
from galenahook.web.http import Request as Request
from galenahook.web.http import Response as Response
from galenahook.web.http import bound_address as bound_address
from galenahook.web.http import json_response as json_response
from galenahook.web.http import listen as listen
from galenahook.web.http import parse_address as parse_address
from galenahook.web.http import refusal as refusal
from galenahook.web.server import CONTROL_LIMITS as CONTROL_LIMITS
from galenahook.web.server import Handler as Handler
from galenahook.web.server import Limits as Limits
from galenahook.web.server import Server as Server
