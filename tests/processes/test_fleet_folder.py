import pytest

from tools.fleet_folder import FleetPlan, ServicePlan, read_folder, write_folder


@pytest.mark.parametrize(
    ("hosts", "balancers", "backends"),
    [
        ((ServicePlan("order", 1),), 1, ["order-1"]),
        (
            (ServicePlan("ledger", 2), ServicePlan("intake", 1)),
            3,
            ["intake-1", "ledger-1", "ledger-2"],
        ),
    ],
)
def test_written_folder_reads_back(tmp_path, hosts, balancers, backends):
    write_folder(FleetPlan(hosts, balancers, block=77), tmp_path)
    settings = read_folder(tmp_path)
    services = [plan.name for plan in hosts]
    assert sorted(settings.backends) == backends
    assert list(settings.targets) == services
    assert len(settings.balancers) == balancers
    assert len(settings.routes) == len(services) + 1
    assert all(route.count("127.77.0.") == balancers for route in settings.routes)
