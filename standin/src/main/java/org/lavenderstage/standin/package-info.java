/** Small fakes of the platform, each usable in a process of its own or embedded. */
package org.lavenderstage.standin;
