"""The site's configuration: versions, queues and availability zones."""

from galenahook import commands
from galenahook.jobs import site as site_lib
import job_builders as build


def test_the_highest_version_stays_in_force():
    site = site_lib.SiteState()
    for version in (3, 9, 4, 9):
        site.put(build.put_site(version))
    assert site.current.version == 9
    assert site.current.document == '{"version":9}'


def test_other_content_under_the_version_in_force_is_ignored():
    site = site_lib.SiteState()
    site.put(build.put_site(3))
    site.put(build.put_site(3, queues=()))
    assert site.find_queue("desk.example", "/quotes/1") is not None


def test_the_longest_prefix_of_the_host_chooses_the_queue():
    site = site_lib.SiteState()
    rows = (
        build.queue("short", path_prefix="/a/"),
        build.queue("long", path_prefix="/a/b/"),
        build.queue("other", host="else.example", path_prefix="/a/b/c/"),
    )
    site.put(build.put_site(1, rows))
    found = {
        path: getattr(site.find_queue("DESK.example", path), "name", None)
        for path in ("/a/1", "/a/b/1", "/a/b/c/1", "/b/1")
    }
    assert found == {
        "/a/1": "short",
        "/a/b/1": "long",
        "/a/b/c/1": "long",
        "/b/1": None,
    }


def test_a_zone_out_of_service_stays_so_in_a_new_version():
    site = site_lib.SiteState()
    site.put(build.put_site(1))
    out = commands.SetZoneService(availability_zone="z", out=True, at_ms=1)
    site.set_zone_service(out)
    site.put(build.put_site(2))
    assert site.current.zones_out == ("z",)
    back = commands.SetZoneService(availability_zone="z", out=False, at_ms=1)
    site.set_zone_service(back)
    assert site.current.zones_out == ()
