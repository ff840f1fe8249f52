from hollycart_core import scheduling


def test_entries_expire():
    index = scheduling.PrefixIndex()
    index.add("e", [1, 2], now_ms=0.0)
    assert index.match("e", [1, 2], now_ms=599_000.0) == 2048
    assert index.match("e", [1, 2], now_ms=601_000.0) == 0


def test_reported_miss_shortens_the_life_of_an_entry():
    index = scheduling.PrefixIndex()
    index.record_hit("e", [1, 2, 3], cached_tokens=1024, now_ms=0.0)
    assert index.match("e", [1, 2, 3], now_ms=1.0) == 3072
    assert index.match("e", [1, 2, 3], now_ms=400_000.0) == 1024


def test_index_is_bounded():
    index = scheduling.PrefixIndex(max_blocks=3)
    index.add("e", [1, 2, 3, 4], now_ms=0.0)
    assert index.match("e", [1], now_ms=0.0) == 0
    assert index.match("e", [4], now_ms=0.0) == 1024
