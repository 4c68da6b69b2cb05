/** The demo: both deployments in one process, with simulated callers and injected faults. */
package org.lavenderstage.launcher.demo;
