#!/usr/bin/env python3
"""Compares two versions on one day of a deployment, by pairs of plays.

Each pair plays the day with one seed in both checkouts at the same time, so that the two share
the load of the machine. The difference of the scores is given with its 95% interval (Student's
t over the pairs). docs/rounds.md, "How a fall is judged", says what follows from it.

    scripts/compare_versions.py --bench FLEETBENCH --site SITE --day DAY \
        --before DIR --after DIR --seeds 1,2,3,4,5,6,7,8 [--at-once 2]

The journal entries stay in the checkouts; copy them into journal/.
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
# The line of a day in the bench's report: its name, its machines, its score, its worth.
DAY_LINE = re.compile(r"^\S+ .*?\d+/\d+\s+(-?\d+\.\d+)\s+\d+\.\d+", re.MULTILINE)
# A fall of a figure that the operators do not accept.
LARGEST_FALL = 0.03


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    for name in ("bench", "site", "day", "before", "after"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--seeds", required=True, help="comma-separated; one pair each")
    parser.add_argument("--at-once", type=int, default=2, help="pairs that are played at one time")
    return parser.parse_args()


def play(arguments, checkout, seed):
    """Plays the day once and returns its score."""
    command = [arguments.bench, "run", arguments.site, arguments.day, "--seed", seed, "--why",
               f"pair of versions, seed {seed}"]
    result = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
    found = DAY_LINE.search(result.stdout)
    if not found:
        raise RuntimeError(f"{checkout}, seed {seed}: no score in:\n{result.stdout}{result.stderr}")
    return float(found.group(1))


def play_pair(arguments, seed):
    with concurrent.futures.ThreadPoolExecutor(max_workers=2) as pool:
        before = pool.submit(play, arguments, arguments.before, seed)
        after = pool.submit(play, arguments, arguments.after, seed)
        return before.result(), after.result()


def interval(differences):
    """Returns the mean of the differences and half the width of its 95% interval."""
    count = len(differences)
    if count < 2:
        return differences[0], math.inf
    quantile = STUDENT_T[max(known for known in STUDENT_T if known <= count - 1)]
    return statistics.mean(differences), quantile * statistics.stdev(differences) / math.sqrt(count)


def verdict(mean, half_width):
    if mean + half_width < 0 and mean < -LARGEST_FALL:
        return "fell"
    if mean - half_width > -LARGEST_FALL:
        return "has not fallen by more than 0.03"
    return "undecided: play more pairs"


def main():
    arguments = parse_arguments()
    seeds = arguments.seeds.split(",")
    differences = []
    with concurrent.futures.ThreadPoolExecutor(max_workers=arguments.at_once) as pool:
        for seed, (before, after) in zip(seeds, pool.map(lambda seed: play_pair(arguments, seed), seeds)):
            differences.append(after - before)
            print(f"seed {seed}: before {before:.3f}, after {after:.3f}", flush=True)
    mean, half_width = interval(differences)
    print(f"{len(differences)} pairs: {mean:+.3f} +- {half_width:.3f}: {verdict(mean, half_width)}")


if __name__ == "__main__":
    sys.exit(main())
