"""Daemon of an instance in the workflows model: client API, operator configuration, settings.

The elected controller runs in the same process. `foxtailwell.platform` connects this package to the
platform's services; deployments of single-gang jobs use `entry` and `scheduler` instead.
"""

from foxtailwell.instance._daemon import PlatformAdapter, run_instance
from foxtailwell.instance._jobs_api import JobsApi
from foxtailwell.instance._operators import OperatorKeys, OperatorWatch
from foxtailwell.instance._settings import InstanceSettings

__all__ = [
    "InstanceSettings",
    "JobsApi",
    "OperatorKeys",
    "OperatorWatch",
    "PlatformAdapter",
    "run_instance",
]
