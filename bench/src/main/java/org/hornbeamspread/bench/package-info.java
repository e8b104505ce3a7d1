/** Benchmarks of the decisions and codecs, at several sizes each, so that a slope can be read off. */
package org.hornbeamspread.bench;
