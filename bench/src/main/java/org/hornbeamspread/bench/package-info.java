/** Benchmarks of the core logic and the codecs. Each runs at several sizes, which shows how its cost grows. */
package org.hornbeamspread.bench;
