"""Streams whose callers state unusual lengths."""

import pytest

from pimentoquay.gateway.tests.rig import model_headers, rig
from pimentoquay.gateway.tests.test_streams import WHOLE

LARGEST = 10**15 - 1


@pytest.mark.parametrize("path", ["/digest/a", "/sheet/a"])
@pytest.mark.parametrize("hint", [0, 1, 4000, LARGEST])
@pytest.mark.parametrize("prompt", [0, 10])
@pytest.mark.parametrize("max_output", [0, 1])
async def test_a_stream_is_served_whatever_its_lengths_are(max_output, prompt, hint, path):
    """With a hint, an answer of at most 0 tokens ended in a division by zero and 500."""
    async with rig() as env:
        headers = model_headers(prompt=prompt, max_output=max_output, hint=hint)
        for _ in range(2):
            response = await env.send_request(path, headers=headers)
            assert (response.status, response.body, response.is_whole) == (200, WHOLE, True)


@pytest.mark.parametrize("lengths", [(LARGEST, 0), (0, LARGEST), (LARGEST, LARGEST)])
@pytest.mark.parametrize("hint", [0, 1, LARGEST])
async def test_a_stream_too_long_for_every_engine_is_no_internal_error(hint, lengths):
    async with rig() as env:
        prompt, max_output = lengths
        headers = model_headers(prompt=prompt, max_output=max_output, hint=hint)
        response = await env.send_request("/digest/a", headers=headers, deadline_ms=1000)
        assert response.status in (200, 400, 429, 503)
        assert (await env.stream()).status == 200
