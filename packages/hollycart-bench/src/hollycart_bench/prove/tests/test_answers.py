from hollycart_bench.prove import _answers


def test_repeated_answer_is_the_same():
    answers = [_answers.KeyedAnswer("t/cases/1", "a")] * 3
    assert not _answers.find_differing_answers(answers)


def test_changed_answer_to_a_repeated_call_is_found():
    answers = [
        _answers.KeyedAnswer("t/cases/1", "a"),
        _answers.KeyedAnswer("t/cases/2", "b"),
        _answers.KeyedAnswer("t/cases/1", "c"),
    ]
    assert _answers.find_differing_answers(answers) == {"t/cases/1": 2}


def test_confirmation_of_another_call_is_found():
    answers = [
        _answers.KeyedAnswer("t/cases/1", "a"),
        _answers.KeyedAnswer("t/cases/1", '{"executed":"t/cases/2"}'),
    ]
    assert _answers.find_differing_answers(answers) == {"t/cases/1": 2}
