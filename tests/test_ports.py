"""Ports that the stand-ins and tests choose for their processes."""

from __future__ import annotations

from foxtailwell_standins.ports import ephemeral_ports, free_ports


def test_port_of_a_process_is_not_assigned_to_another_socket():
    """Guards against a listener that takes the port of a process which has not started yet."""
    for _ in range(20):
        ports = free_ports(9)
        assert len(set(ports)) == 9
        assert not set(ports) & set(ephemeral_ports())
