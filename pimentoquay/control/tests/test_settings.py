"""Conflicts between settings of the control process."""

import pytest

from pimentoquay.control.settings import ControlSettings
from pimentoquay.kernel.settings import SettingsError, parse_settings

REQUIRED = """
[vm]
name = vm-1
region = hue
data_centre = hue-a
[cluster]
key = secret
[control]
listen = 127.0.0.1:7200
[platform]
log = 127.0.0.1:1
membership = 127.0.0.1:2
weight_store = 127.0.0.1:3
"""


def test_key_lifetime_above_log_retention_is_refused_at_start():
    text = REQUIRED + "[configuration]\nlog_retention = 600\n[once_only]\nkey_lifetime = 601\n"
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, ControlSettings, "vm-1.ini")
    (fault,) = caught.value.faults
    assert (fault.section, fault.key, fault.value) == ("once_only", "key_lifetime", "601")
    assert "log_retention = 600 s" in fault.allowed
    parse_settings(text.replace("601", "600"), ControlSettings, "vm-1.ini")


def test_silent_after_below_two_heartbeat_periods_is_refused_at_start():
    text = REQUIRED + "[membership]\nheartbeat_period = 2\nsilent_after = 3.5\n"
    with pytest.raises(SettingsError, match="silent_after"):
        parse_settings(text, ControlSettings, "vm-1.ini")
