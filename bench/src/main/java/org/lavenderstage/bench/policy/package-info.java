/** Framework of the policy benchmarks: virtual time, scenarios and the table of results. */
package org.lavenderstage.bench.policy;
