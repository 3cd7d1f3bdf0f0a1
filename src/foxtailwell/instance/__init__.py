"""One instance on the platform: client interface, configuration, daemon."""

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
