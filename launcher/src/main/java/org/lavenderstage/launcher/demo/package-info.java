/** The demo: both deployments in one process, with callers and a fault on request. */
package org.lavenderstage.launcher.demo;
