from hollycart_core import base


def _all_errors(kind=base.HollycartError):
    for child in kind.__subclasses__():
        yield child
        yield from _all_errors(child)


def test_every_error_has_a_unique_code():
    codes = [e.code for e in _all_errors()]
    assert len(codes) == len(set(codes)) > 15


def test_every_error_maps_to_an_http_error_status():
    assert all(400 <= e.http_status < 600 for e in _all_errors())
