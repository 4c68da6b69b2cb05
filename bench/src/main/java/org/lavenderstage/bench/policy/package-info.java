/** What all policy experiments share: virtual time, scenarios and their table. */
package org.lavenderstage.bench.policy;
