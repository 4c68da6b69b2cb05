/** The platform's list of VMs. */
package org.lavenderstage.entry.vm;
