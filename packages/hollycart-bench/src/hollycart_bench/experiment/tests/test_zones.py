from hollycart_bench import experiment


def run(scheme, price=100.0):
    return experiment.run_zones((scheme,), ("uneven",), (price,), (1,))[0]


def test_same_seed_gives_the_same_run():
    assert run("model") == run("model")


def test_model_sends_less_over_zones_than_the_least_loaded_choice():
    model, everywhere = run("model"), run("everywhere")
    assert 0.0 < model.crossed < 0.2 * everywhere.crossed
    assert model.loss < everywhere.loss


def test_higher_price_keeps_bytes_at_home():
    low, middle, high = (run("model", p) for p in (100.0, 1e4, 1e5))
    assert low.megabytes > middle.megabytes > high.megabytes


def test_schemes_are_compared_seed_by_seed():
    runs = [
        experiment.ZoneRun(name, "even", 1.0, seed, loss, 1.0, 0.0, 0.0, 0.0)
        for seed in (1, 2, 3)
        for name, loss in (("a", 0.1 * seed), ("b", 0.1 * seed + 0.02))
    ]
    assert "+0.020 [+0.020, +0.020]" in experiment.format_zones(runs, "a")
