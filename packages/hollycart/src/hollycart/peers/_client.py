"""Client for calls between instances."""

from collections.abc import Callable
import time
from typing import Any

from eventlet import event
import grpc
import msgspec

from hollycart.peers import _bridge
from hollycart.peers import _methods
from hollycart.peers import _server
from hollycart_core import base

_OPTIONS = [
    ("grpc.max_receive_message_length", _server.MAX_MESSAGE_BYTES),
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.use_local_subchannel_pool", 1),
]
_LIVENESS_CHECK_INTERVAL_S = 0.25
# Added to the timeout of gRPC, which normally ends the call first.
_TIMEOUT_MARGIN_S = 0.5


class PeerClient:
    """Calls other instances over one connection per address.

    Args:
        bridge: Passes the replies to the event loop.
        secret: Shared secret sent with each call; empty sends none.
    """

    def __init__(self, bridge: _bridge.LoopBridge, secret: str = "") -> None:
        self.bridge = bridge
        self.secret = secret
        self.bytes_sent = 0
        self.bytes_received = 0
        self._channels: dict[str, Any] = {}
        self._encoder = msgspec.msgpack.Encoder()

    def close(self) -> None:
        """Closes all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def keep_only(self, addresses: set[str]) -> None:
        """Closes the connections to all other addresses."""
        for address in set(self._channels) - addresses:
            self._channels.pop(address).close()

    def call(
        self,
        address: str,
        method: _methods.Method,
        request: Any,
        timeout_ms: float,
        is_peer_alive: Callable[[], bool] | None = None,
    ) -> Any:
        """Makes one call and waits for its reply.

        Args:
            address: `host:port` of the instance.
            method: The method to call.
            request: Request message.
            timeout_ms: Time limit for the call, in ms.
            is_peer_alive: Called periodically; the call is cancelled once it
                returns False.

        Returns:
            The decoded reply.

        Raises:
            PeerUnreachableError: If no valid reply arrives. The peer may have
                executed the call.
        """
        done = event.Event()
        data = self._encoder.encode(request)
        self.bytes_sent += len(data)
        stub = self._channel(address).unary_unary(
            f"/{_methods.SERVICE}/{method.name}"
        )
        metadata = ((_server.SECRET_HEADER, self.secret),)
        fut = stub.future(
            data,
            timeout=max(0.001, timeout_ms / 1000.0),
            metadata=metadata if self.secret else None,
        )
        fut.add_done_callback(lambda f: self.bridge.post(lambda: done.send(f)))
        deadline_s = time.monotonic() + timeout_ms / 1000.0 + _TIMEOUT_MARGIN_S
        try:
            while not done.ready() and time.monotonic() < deadline_s:
                done.wait(timeout=_LIVENESS_CHECK_INTERVAL_S)
                if is_peer_alive is not None and not is_peer_alive():
                    break
        finally:
            fut.cancel()
        if not done.ready():
            raise base.PeerUnreachableError(f"{method.name}: given up")
        if fut.code() is not grpc.StatusCode.OK:
            raise base.PeerUnreachableError(f"{method.name}: {fut.code()}")
        reply = fut.result()
        self.bytes_received += len(reply)
        decoder = msgspec.msgpack.Decoder(method.reply_type)
        return (
            base.parse(decoder.decode, reply)
            .map_err(lambda reason: f"{method.name}: {reason}")
            .unwrap_or_raise(base.PeerUnreachableError)
        )

    def _channel(self, address: str) -> Any:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.insecure_channel(address, options=_OPTIONS)
            self._channels[address] = channel
        return channel
