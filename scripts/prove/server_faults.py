"""Proofs in which backend servers and whole failure domains fail."""

import processes
from scenario import scenario

KEYED = tuple(f"kartlas-{number}" for number in range(1, 15))


@scenario("server-killed", short=True, isolated=KEYED)
def server_killed(run):
    """P1, P11: the process of a server with keys is killed."""
    server = run.random.choice(run.load.keyed_servers())
    run.record_figure(f"killed {server}")
    run.record_loss(server=server)
    run.deployment.kill_backend(server)
    run.wait_until_served()
    run.run_load_for(3.0)


@scenario("server-frozen")
def server_frozen(run):
    """P1, P11: a server freezes for longer than its grants, then resumes."""
    server = run.random.choice(run.load.keyed_servers())
    run.record_figure(f"froze {server}")
    run.record_loss(server=server)
    run.deployment.control_server(server, state="freeze", ms=4000)
    run.wait_until_served()
    run.run_load_for(6.0)


# The load keeps about 1.5 requests in progress at each of the 14 servers, so
# that a server to which no limit is applied exceeds the limit of a cold one at
# once.
@scenario("server-cold", service_ms={"kartlas": 40.0},
          load={"readers": 32, "pause": 0.01})
def server_cold(run):
    """P3: a server becomes cold again without announcing it."""
    server = run.random.choice(run.load.keyed_servers())
    read_counters = run.deployment.server_counters
    before = read_counters(server)
    seconds = 4.0
    run.deployment.control_server(server, state="cold", ms=seconds * 1000)
    start = run.now()
    run.history.add("cold", start, start + int(seconds * 1e9), server=server,
                    limit=1)
    run.run_load_for(seconds + 2.0)
    after = read_counters(server)
    overloads = after["cold_overloads"] - before["cold_overloads"]
    run.record_figure(f"{server}: "
                      f"{after['completed'] - before['completed']} requests, "
                      f"{overloads} times over its limit in cold start")
    run.require(overloads == 0,
                f"{server} was {overloads} times over its limit in cold "
                "start, expected 0")


@scenario("domain-out")
def domain_out(run):
    """P4: operators take a failure domain out and return it."""
    domain = run.random.choice(processes.DOMAINS)
    others = [i for i in run.deployment.instances if i.domain != domain]

    def change_domain(action):
        completed = others[0].run_operator_command("domain", action, domain)
        run.require(completed.returncode == 0,
                    f"domain {action}: {completed.stdout}")

    def all_report(state):
        responses = [processes.call_json(
                         i.operator_address, "GET", "/v1/domains")
                     for i in run.deployment.instances]
        return all(response and response["failure_domains"][domain] == state
                   for response in responses)

    change_domain("out")
    start = run.now()
    run.wait(lambda: all_report("out of service"),
             f"{domain} is out everywhere")
    run.record_figure(f"{domain} out everywhere after "
                      f"{(run.now() - start) / 1e9:.1f} s")
    run.run_load_for(7.0)
    end = run.now()
    change_domain("in")
    run.history.add("domain_out", start, end, domain=domain)
    run.wait(lambda: all_report("in service"), f"{domain} is back everywhere")
    run.run_load_for(4.0)
    run.wait_until_served()


@scenario("domain-killed", instances=9)
def domain_killed(run):
    """P11: a failure domain with its instances and servers is lost."""
    domain = run.random.choice(processes.DOMAINS)
    run.record_figure(f"killed {domain}")
    for instance in run.deployment.instances:
        if instance.domain == domain:
            run.kill(instance)
    run.record_loss(domain=domain)
    run.deployment.kill_backend(domain)
    run.wait_until_served()
    run.run_load_for(3.0)
