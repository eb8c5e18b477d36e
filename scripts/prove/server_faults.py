"""Proofs in which backend servers and whole failure domains fail."""

import processes
from scenario import scenario

KEYED = tuple(f"kartlas-{number}" for number in range(1, 15))


@scenario("server-killed", short=True, alone=KEYED)
def server_killed(run):
    """P1, P11: the process of a server with keys is killed."""
    server = run.random.choice(run.load.keyed_servers())
    run.note(f"killed {server}")
    run.loss(server=server)
    run.deployment.kill_backend(server)
    run.served_again()
    run.serve_for(3.0)


@scenario("server-frozen")
def server_frozen(run):
    """P1, P11: a server freezes longer than its grants and returns."""
    server = run.random.choice(run.load.keyed_servers())
    run.note(f"froze {server}")
    run.loss(server=server)
    run.deployment.control_server(server, state="freeze", ms=4000)
    run.served_again()
    run.serve_for(6.0)


# The load keeps about 1.5 requests in progress at each of the 14 servers, so
# that a server without a limit is over the limit of a cold one at once.
@scenario("server-cold", service_ms={"kartlas": 40.0},
          load={"readers": 32, "pause": 0.01})
def server_cold(run):
    """P3: a server becomes cold again without a word."""
    server = run.random.choice(run.load.keyed_servers())
    counters = run.deployment.server_counters
    before = counters(server)
    seconds = 4.0
    run.deployment.control_server(server, state="cold", ms=seconds * 1000)
    start = run.now()
    run.history.add("cold", start, start + int(seconds * 1e9), server=server,
                    limit=1)
    run.serve_for(seconds + 2.0)
    after = counters(server)
    over = after["cold_overloads"] - before["cold_overloads"]
    run.note(f"{server}: {after['completed'] - before['completed']} requests, "
             f"{over} times over its limit in cold start")
    run.require(over == 0, f"{server} was {over} times over its limit in cold "
                "start, expected 0")


@scenario("domain-out")
def domain_out(run):
    """P4: operators take a failure domain out and return it."""
    domain = run.random.choice(processes.DOMAINS)
    others = [i for i in run.deployment.instances if i.domain != domain]

    def operate(action):
        done = others[0].operate("domain", action, domain)
        run.require(done.returncode == 0, f"domain {action}: {done.stdout}")

    def all_say(state):
        pages = [processes.call_json(i.operators, "GET", "/v1/domains")
                 for i in run.deployment.instances]
        return all(page and page["failure_domains"][domain] == state
                   for page in pages)

    operate("out")
    start = run.now()
    run.wait(lambda: all_say("out of service"), f"{domain} is out everywhere")
    run.note(f"{domain} out everywhere after {(run.now() - start) / 1e9:.1f} s")
    run.serve_for(7.0)
    end = run.now()
    operate("in")
    run.history.add("domain_out", start, end, domain=domain)
    run.wait(lambda: all_say("in service"), f"{domain} is back everywhere")
    run.serve_for(4.0)
    run.served_again()


@scenario("domain-killed", instances=9)
def domain_killed(run):
    """P11: a failure domain with its instances and servers is lost."""
    domain = run.random.choice(processes.DOMAINS)
    run.note(f"killed {domain}")
    for instance in run.deployment.instances:
        if instance.domain == domain:
            run.kill(instance)
    run.loss(domain=domain)
    run.deployment.kill_backend(domain)
    run.served_again()
    run.serve_for(3.0)
