"""Server for calls between instances."""

from collections.abc import Callable
from collections.abc import Mapping
import hmac
from typing import Any

import grpc
import msgspec
import result

from hollycart.peers import _bridge
from hollycart.peers import _methods
from hollycart_core import base

MAX_MESSAGE_BYTES = 16 << 20
# Clients that open connections and send nothing, or do not end their calls.
_HANDSHAKE_TIMEOUT_MS = 2000
_IDLE_TIMEOUT_MS = 30000
_MAX_CALLS_PER_CONNECTION = 64
SECRET_HEADER = "hollycart-secret"

Handler = Callable[[Any], Any]


class PeerServer:
    """Serves calls of other instances on the event loop.

    Args:
        bridge: Passes the calls to the loop.
        address: `host:port` to listen on.
        handlers: Handler of each method, called with the decoded request.
        secret: Shared secret that each call must carry; empty accepts all
            calls.
    """

    def __init__(
        self,
        bridge: _bridge.LoopBridge,
        address: str,
        handlers: Mapping[_methods.Method, Handler],
        secret: str = "",
    ) -> None:
        self.bridge = bridge
        self.address = address
        self.handlers = handlers
        self.secret = secret
        self.bytes_sent = 0
        self.bytes_received = 0
        self._server: Any = None

    def start(self) -> None:
        """Binds the address and starts serving.

        Raises:
            RuntimeError: If the address cannot be bound.
        """
        self._server = grpc.server(
            _bridge.LoopExecutor(self.bridge),
            options=[
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.so_reuseport", 0),
                ("grpc.server_handshake_timeout_ms", _HANDSHAKE_TIMEOUT_MS),
                ("grpc.max_connection_idle_ms", _IDLE_TIMEOUT_MS),
                ("grpc.max_concurrent_streams", _MAX_CALLS_PER_CONNECTION),
            ],
        )
        methods = {
            method.name: grpc.unary_unary_rpc_method_handler(
                self._make_rpc_handler(method, handler)
            )
            for method, handler in self.handlers.items()
        }
        generic_handler = grpc.method_handlers_generic_handler(
            _methods.SERVICE, methods
        )
        self._server.add_generic_rpc_handlers((generic_handler,))
        self._server.add_insecure_port(self.address)
        self._server.start()

    def close(self) -> None:
        """Stops serving and cancels the calls in progress."""
        if self._server is not None:
            self._server.stop(grace=None)
            self._server = None

    def _make_rpc_handler(
        self, method: _methods.Method, handler: Handler
    ) -> Callable[[bytes, Any], bytes]:
        decoder = msgspec.msgpack.Decoder(method.request_type)
        encoder = msgspec.msgpack.Encoder()

        def serve(data: bytes, context: Any) -> bytes:
            if not self._is_authenticated(context):
                context.abort(grpc.StatusCode.UNAUTHENTICATED, "secret")
            self.bytes_received += len(data)
            request = base.parse(decoder.decode, data)
            if isinstance(request, result.Err):
                context.abort(
                    grpc.StatusCode.INVALID_ARGUMENT, request.err_value
                )
                raise base.InvalidRequestError(request.err_value)
            try:
                reply = encoder.encode(handler(request.ok_value))
            except base.HollycartError as exc:
                context.abort(grpc.StatusCode.FAILED_PRECONDITION, exc.code)
                raise
            self.bytes_sent += len(reply)
            return reply

        return serve

    def _is_authenticated(self, context: Any) -> bool:
        if not self.secret:
            return True
        sent_secret = dict(context.invocation_metadata()).get(SECRET_HEADER, "")
        return hmac.compare_digest(str(sent_secret), self.secret)
