"""Check that names of the platform occur only in ``platform/``, in stand-ins and in tests."""

import ast
from pathlib import Path

import pimentoquay

ROOT = Path(pimentoquay.__file__).parent
EXEMPT = {"platform", "standin"}

MAX_LINES = 1300

HEADERS = (
    "pimentoquay-request-id",
    "pimentoquay-deadline-ms",
    "pimentoquay-prompt-prefix",
    "last-event-id",
    "pimentoquay-server-stamp",
    "pimentoquay-expect-instance",
    "pimentoquay-not-executed",
    "pimentoquay-instance-id",
    "pimentoquay-model",
    "pimentoquay-token-counts",
    "kv-fetch",
    "pimentoquay-request-priority",
    "pimentoquay-stage",
    "pimentoquay-kv-source",
    "pimentoquay-weight-versions",
    "pimentoquay-expect-version",
    "pimentoquay-pin-ms",
    "pimentoquay-kv-hold",
    "pimentoquay-length-hint",
    "pimentoquay-kv-backup",
    "server-leaving",
    "server-limit",
    "store-era",
    "pimentoquay-key",
    "pimentoquay-tenant",
)
FIELDS = (
    "pathPrefix",
    "trafficSplit",
    "timeoutMs",
    "targetLatencyMs",
    "maxAttempts",
    "stickySessions",
    "healthPath",
    "maxConns",
    "maxHeaderBytes",
    "maxBodyBytes",
    "headerTimeoutMs",
    "idleTimeoutMs",
    "slotCount",
    "coldRemainingMs",
    "nextToken",
    "nodeName",
    "machineClass",
    "ipAddr",
    "frontAddr",
    "readyAddr",
    "controlAddr",
    "innerPortRange",
    "seedAddrs",
    "beatIntervalMs",
    "drainMs",
    "graceS",
    "configApplyMs",
    "retryBudgetRatio",
    "budgetWindowS",
    "retryBudgetSlack",
    "leaseMs",
    "holdMs",
    "engineId",
    "kvHandle",
    "handleTtlS",
    "kvTokens",
    "kvTokenBytes",
    "kvUsed",
    "kvTotal",
    "gapTargetMs",
    "endOffset",
    "firstOffset",
    "maxKb",
    "memberId",
    "generationId",
    "hasMore",
    "ttlMs",
    "waitMs",
    "non_idempotent",
    "colocated",
    "keyed.op",
    "keyed.servers",
    "apiKeys",
    "ratePerS",
    "plainTokens",
    "quotaWindowS",
    "quotaOverrun",
    "quotaSlack",
    "memoryMb",
    "maxFds",
)


def string_literals(source):
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            value = node.value
            yield value.decode("latin-1") if isinstance(value, bytes) else value


def names_in(text):
    lowered = text.lower()
    found = [name for name in HEADERS if name in lowered]
    found += [name for name in FIELDS if name == text]
    if text.startswith("/api/"):
        found.append(text)
    return found


def product_files():
    for path in sorted(ROOT.rglob("*.py")):
        parts = path.relative_to(ROOT).parts
        if parts[0] not in EXEMPT and "tests" not in parts:
            yield path


def test_platform_names_are_used_only_in_the_adapter():
    found = {
        str(path.relative_to(ROOT)): names
        for path in product_files()
        if (
            names := [name for text in string_literals(path.read_text()) for name in names_in(text)]
        )
    }
    assert found == {}


def test_the_check_finds_a_name():
    assert names_in("Pimentoquay-Kv-Hold") and names_in("kvTokens") and names_in("/api/report")
    assert not names_in("pimentoquay-gateway")


def test_the_adapter_stays_small():
    lines = sum(len(path.read_text().splitlines()) for path in (ROOT / "platform").glob("*.py"))
    assert lines < MAX_LINES
