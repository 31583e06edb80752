from pimentoquay.kernel.traffic import process_traffic
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.services.membership_http import HttpMembershipClient
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.standin.serve_platform import membership_app
from pimentoquay.standin.tests.served import served


def engine(index: int) -> Member:
    return Member(
        f"engine-{index}",
        MemberKind.ENGINE,
        MemberState.LIVE,
        "tt-north",
        "city-hall",
        f"10.0.{index // 250}.{index % 250}:8000",
        "diag-llm",
        True,
    )


async def count_received_bytes(call):
    before = process_traffic.http_bytes_received
    answer = await call()
    return answer, process_traffic.http_bytes_received - before


async def test_unchanged_list_is_not_transferred_again():
    listing = StandinMembership([engine(index) for index in range(500)])
    async with served(membership_app(listing)) as address:
        client = HttpMembershipClient(address)
        first, first_bytes = await count_received_bytes(client.members)
        again, again_bytes = await count_received_bytes(client.members)
        listing.leave("engine-7")
        changed = await client.members()
        await client.close()
    assert first == again
    assert again_bytes < first_bytes / 10
    assert changed.version > first.version
    assert {member.state for member in changed.members} == {MemberState.LIVE, MemberState.LEAVING}
