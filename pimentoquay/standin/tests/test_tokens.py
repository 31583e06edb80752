from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.standin import answer_tokens, count_tokens


@given(st.text(max_size=300), st.integers(1, 300))
def test_answers_are_deterministic_and_within_the_maximum(prompt, max_tokens):
    tokens = answer_tokens(prompt, max_tokens)
    assert tokens == answer_tokens(prompt, max_tokens)
    assert 1 <= len(tokens) <= max_tokens


@given(st.text(min_size=1, max_size=300))
def test_tokens_are_counted_in_bytes(prompt):
    assert count_tokens(prompt) == -(-len(prompt.encode()) // 4)


def test_similar_prompts_have_different_answers():
    answers = {answer_tokens(f"prompt {number}", 20) for number in range(200)}
    assert len(answers) == 200


def test_an_empty_prompt_counts_as_one_token():
    assert count_tokens("") == 1
