"""Configuration: reads and validates settings, files and the environment.

Each format has a module: `settings` (of the policy, as text or JSON), `platform_file` (with which the
platform starts a dispatcher), `pull_queue_file` with its tables in `site_table`, `cluster_table` and
`zone_table`, and `fleet_file` (imported only by the commands `weldhatch fleet`). Unusable input raises
`ConfigError`, whose text names the faulty key.
"""

from weldhatch.config.cluster_table import ClusterConfig, cluster_config
from weldhatch.config.errors import ConfigError
from weldhatch.config.platform_file import PlatformConfig, platform_config
from weldhatch.config.pull_queue_file import (
    PULL_QUEUE_DEFAULTS,
    PullQueueConfig,
    PullQueueTiming,
    SecurityConfig,
    pull_queue_config,
    pull_queue_leaves,
    read_pull_queue_file,
)
from weldhatch.config.reading import parse_endpoint, read_json_file, read_toml_file
from weldhatch.config.settings import settings_from_json, settings_from_text
from weldhatch.config.site_table import SitesConfig
from weldhatch.config.zone_table import ZonesConfig, zones_config

__all__ = [
    "PULL_QUEUE_DEFAULTS",
    "ClusterConfig",
    "ConfigError",
    "PlatformConfig",
    "PullQueueConfig",
    "PullQueueTiming",
    "SecurityConfig",
    "SitesConfig",
    "ZonesConfig",
    "cluster_config",
    "parse_endpoint",
    "platform_config",
    "pull_queue_config",
    "pull_queue_leaves",
    "read_json_file",
    "read_pull_queue_file",
    "read_toml_file",
    "settings_from_json",
    "settings_from_text",
    "zones_config",
]
