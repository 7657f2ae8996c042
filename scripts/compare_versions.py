#!/usr/bin/env python3
"""Compares the scores of two versions on one day of a deployment by paired runs.

Each pair runs the day with one seed in both checkouts at the same time, so that both see the same
load of the machine. The mean difference of the scores is printed with its 95% confidence interval
(Student's t over the pairs). docs/rounds.md, "How a fall is judged", describes what follows from
it.

    scripts/compare_versions.py --bench FLEETBENCH --site SITE --day DAY \
        --before DIR --after DIR --seeds 1,2,3,4,5,6,7,8 [--at-once 2]

The journal entries remain in the checkouts and must be copied into journal/.
"""

import argparse
import concurrent.futures
import math
import re
import statistics
import subprocess
import sys

# Two-sided 95% quantiles of Student's t, by degrees of freedom.
STUDENT_T = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31, 9: 2.26,
             10: 2.23, 11: 2.20, 12: 2.18, 13: 2.16, 14: 2.14, 15: 2.13, 19: 2.09, 23: 2.07}
# The line of a day in the bench's report: name, machines, score and worth.
DAY_LINE = re.compile(r"^\S+ .*?\d+/\d+\s+(-?\d+\.\d+)\s+\d+\.\d+", re.MULTILINE)
# The largest decrease of a score that the operators accept.
MAX_ACCEPTED_DECREASE = 0.03


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    for name in ("bench", "site", "day", "before", "after"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--seeds", required=True, help="comma-separated; one pair each")
    parser.add_argument("--at-once", type=int, default=2, help="pairs that are played at one time")
    return parser.parse_args()


def run_day(arguments, checkout, seed):
    """Runs the day once in a checkout and returns its score."""
    command = [arguments.bench, "run", arguments.site, arguments.day, "--seed", seed, "--why",
               f"pair of versions, seed {seed}"]
    result = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
    match = DAY_LINE.search(result.stdout)
    if not match:
        raise RuntimeError(f"{checkout}, seed {seed}: no score in:\n{result.stdout}{result.stderr}")
    return float(match.group(1))


def run_pair(arguments, seed):
    with concurrent.futures.ThreadPoolExecutor(max_workers=2) as pool:
        before = pool.submit(run_day, arguments, arguments.before, seed)
        after = pool.submit(run_day, arguments, arguments.after, seed)
        return before.result(), after.result()


def confidence_interval(differences):
    """Returns the mean of the differences and the half-width of its 95% confidence interval."""
    count = len(differences)
    if count < 2:
        return differences[0], math.inf
    quantile = STUDENT_T[max(degrees for degrees in STUDENT_T if degrees <= count - 1)]
    return statistics.mean(differences), quantile * statistics.stdev(differences) / math.sqrt(count)


def verdict(mean, half_width):
    if mean + half_width < 0 and mean < -MAX_ACCEPTED_DECREASE:
        return "fell"
    if mean - half_width > -MAX_ACCEPTED_DECREASE:
        return "has not fallen by more than 0.03"
    return "undecided: play more pairs"


def main():
    arguments = parse_arguments()
    seeds = arguments.seeds.split(",")
    differences = []
    with concurrent.futures.ThreadPoolExecutor(max_workers=arguments.at_once) as pool:
        for seed, (before, after) in zip(seeds, pool.map(lambda seed: run_pair(arguments, seed), seeds)):
            differences.append(after - before)
            print(f"seed {seed}: before {before:.3f}, after {after:.3f}", flush=True)
    mean, half_width = confidence_interval(differences)
    print(f"{len(differences)} pairs: {mean:+.3f} +- {half_width:.3f}: {verdict(mean, half_width)}")


if __name__ == "__main__":
    sys.exit(main())
